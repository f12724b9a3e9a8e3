// wants: $.expectations[0].timeline[0].at_ms: 1500 stands there; it would never happen
{ expectations: [{ name: 'x', seeds: 4, for_ms: 1000, load: [{ class: 'species-search', every_ms: 20, shards: [0] }], timeline: [{ at_ms: 1500, reader: 'r1.example.org', is: 'gone' }], claims: [{ further: { most_per_part: 0 } }] }] }
