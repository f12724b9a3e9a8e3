// wants: $.fleet.voters.n0.zone: "agadir" stands there; settings.zone is "rabat"
(import 'fleet.libsonnet') + { fleet+: { voters+: { n0+: { zone: 'agadir' }, n1+: { zone: 'rabat' } } } }
