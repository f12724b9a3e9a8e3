// wants: at 2 of 4 seeds|at 1 of 4 seeds|at 3 of 4 seeds
{ expectations: [{ name: 'the phase is drawn', seeds: 4, for_ms: 1000, load: [{ class: 'species-search', every_ms: 500, shards: [0] }], claims: [{ goes_to: { one_of: ['r1.example.org', 'r2.example.org'] } }] }] }
