// wants: vacuous: "a drain that never comes"
// wants: is never told of as draining
{ expectations: [{ name: 'a drain that never comes', seeds: 4, for_ms: 1000, load: [{ class: 'species-search', every_ms: 20, shards: [0] }], claims: [{ nothing_new: { reader: 'r1.example.org' } }] }] }
