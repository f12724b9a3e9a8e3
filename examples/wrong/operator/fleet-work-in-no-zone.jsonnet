// wants: $.fleet.work[0].zone: "fes" stands there
(import 'fleet.libsonnet') + { fleet+: { work: [{ zone: 'fes', reason: 'x', for_s: 60 }] } }
