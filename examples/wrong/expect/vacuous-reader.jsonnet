// wants: vacuous: "r9 never gets shard 0"
// wants: holds none of the shards
{ expectations: [{ name: 'r9 never gets shard 0', seeds: 4, for_ms: 1000, load: [{ class: 'species-search', every_ms: 20, shards: [0] }], claims: [{ goes_to: { never: ['r9.example.org'] } }] }] }
