// A fleet section without a mistake, for the files beside it to spoil.
{
  version: 1,
  config: '../../../deploy/fleet.json',
  placement: { holders_least: 2 },
  fleet: {
    revision: 1,
    voters: {
      ['n%d' % i]: { address: '10.0.0.%d:8702' % (i + 1), zone: ['rabat', 'agadir', 'oujda'][i % 3] }
      for i in std.range(0, 4)
    },
    gossip: { bind: '10.0.0.1:8701', join: ['10.0.0.2:8701'] },
    keys_file: 'keys',
    dir: 'fleet',
    out_by_zone: 1,
    out_most: 2,
    parts_per_replica: 40,
  },
}
