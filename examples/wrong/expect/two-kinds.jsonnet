// wants: a claim has exactly one kind; it has 2
{ expectations: [{ name: 'x', seeds: 4, for_ms: 1000, load: [{ class: 'species-search', every_ms: 20, shards: [0] }], claims: [{ further: { most_per_part: 0 }, first_parts: { from: 1, to: 1 } }] }] }
