// wants: broken: "MA-34 at r1 and r2"
// wants: claims[0] goes_to: a part for shard 10 went to
{ expectations: [{ name: 'MA-34 at r1 and r2', seeds: 4, for_ms: 1000, load: [{ class: 'tally-submit', every_ms: 20, square: 'MA-34' }], claims: [{ goes_to: { one_of: ['r1.example.org', 'r2.example.org'] } }] }] }
