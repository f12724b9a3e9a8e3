// wants: broken: "three lost"
// wants: shards 0
{ expectations: [{ name: 'three lost', seeds: 4, for_ms: 1000, claims: [{ loss: { of: 'data_centre', count: 2, holders_least: 2 } }] }] }
