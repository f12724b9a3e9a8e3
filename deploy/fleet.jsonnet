// The operators' file with a fleet: five co-ordinators, all in the council, settle which machine may go out for work.
// birchcart-fleet serves with it; fleet.json is a platform's file whose machines have room for it. One instance's file
// differs from another's in `own` only. docs/operators/fleet.md tells the keys.
local own = { bind: '10.0.0.1', dir: '/var/lib/birchcart/fleet' };
local addresses = ['10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4', '10.0.0.5'];
local zones = ['rabat', 'agadir', 'oujda'];

(import 'operator.jsonnet') + {
  config: 'fleet.json',
  placement: { holders_least: 2, data_centres_least: 2 },
  fleet: {
    revision: 1,  // one more with each change of limits or work
    voters: {
      ['n%d' % i]: { address: addresses[i] + ':8702', zone: zones[i % 3] }
      for i in std.range(0, 4)
    },
    gossip: { bind: own.bind + ':8701', join: [a + ':8701' for a in addresses] },
    keys_file: '/etc/birchcart/fleet.keys',
    dir: own.dir,
    grants_file: '/run/birchcart/grants.json',
    drain_self: true,
    lease_ms: 10000,
    grace_ms: 1000,
    settle_ms: 30000,
    calm_ms: 60000,
    out_by_zone: 1,
    out_most: 2,
    headroom: 0.25,
    parts_per_replica: 40,
    work: [
      { kind: 'replica', reason: 'new disks, ticket 2291', for_s: 1800, earliest: '2026-12-02T22:00:00Z', latest: '2026-12-09T05:00:00Z' },
      { names: ['r3.example.org'], reason: 'fan is failing', for_s: 600, priority: 'urgent' },
    ],
  },
}
