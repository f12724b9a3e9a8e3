// wants: $.fleet.lanes.header: "retry-after" stands there; that header has a meaning already
// wants: $.fleet.lanes.lanes: is missing
(import 'fleet.libsonnet') + { fleet+: { lanes: { header: 'retry-after' } } }
