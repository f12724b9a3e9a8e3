// wants: $.fleet.voters.n1.zone: "fes" stands there
// wants: $.fleet.voters.n2.zone: "" stands there
(import 'fleet.libsonnet') + { fleet+: { voters+: { n1+: { zone: 'fes' }, n2+: { zone: '' } } } }
