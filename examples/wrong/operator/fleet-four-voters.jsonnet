// wants: $.fleet.voters: 4 voters stands there; 3 or 5 are right
(import 'fleet.libsonnet') + { fleet+: { voters: { ['n%d' % i]: { address: '10.0.0.%d:8702' % i, zone: 'rabat' } for i in std.range(1, 4) } } }
