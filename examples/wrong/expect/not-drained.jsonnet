// wants: broken: "r1 goes on"
// wants: none of
{ expectations: [{ name: 'r1 goes on', seeds: 4, for_ms: 1000, load: [{ class: 'species-search', every_ms: 20, shards: [0] }], timeline: [{ at_ms: 100, reader: 'r1.example.org', is: 'draining' }], claims: [{ goes_to: { exactly: ['r1.example.org', 'r2.example.org', 'r3.example.org'], where: { from_ms: 200 } } }] }] }
