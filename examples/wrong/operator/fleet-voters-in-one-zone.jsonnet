// wants: $.fleet.voters: 3 of 3 in zone rabat stands there; at most 1 in one of 3 zones
(import 'fleet.libsonnet') + { fleet+: { voters: { ['n%d' % i]: { address: '10.0.0.%d:8702' % i, zone: 'rabat' } for i in std.range(0, 2) } } }
