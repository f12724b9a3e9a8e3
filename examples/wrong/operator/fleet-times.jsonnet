// wants: $.fleet.lease_ms: 500 stands there; from 2000 to 60000 ms is right
// wants: $.fleet.settle_ms: 200 stands there; at least grace_ms, 1000 ms
// wants: $.fleet.out_by_zone: 3 stands there; at most out_most, 2
(import 'fleet.libsonnet') + { fleet+: { lease_ms: 500, settle_ms: 200, out_by_zone: 3 } }
