// wants: $.fleet.voters.n1.address: "10.0.0.1:8702" stands there; that is the address of n0
// wants: $.fleet.voters.n2.address: "here" stands there; HOST:PORT is right
// wants: $.fleet.gossip.bind: "10.0.0.1:0" stands there; HOST:PORT is right
// wants: $.fleet.gossip.join[1]: "10.0.0.2" stands there; HOST:PORT is right
(import 'fleet.libsonnet') + { fleet+: {
  voters+: { n1+: { address: '10.0.0.1:8702' }, n2+: { address: 'here' } },
  gossip: { bind: '10.0.0.1:0', join: ['10.0.0.1:8701', '10.0.0.2'] },
} }
