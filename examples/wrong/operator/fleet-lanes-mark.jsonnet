// wants: $.fleet.lanes.header: is missing; accounts[0] has marks, which come in it
// wants: $.fleet.lanes.lanes[0].name: length 0 stands there; at least 1 is right
(import 'fleet.libsonnet') + { fleet+: { lanes: {
  lanes: [{ name: '' }, { name: 'rest' }], accounts: [{ name: 'a', lane: 'rest', marks: ['k'] }],
} } }
