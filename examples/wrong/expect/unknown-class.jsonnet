// wants: $.expectations[0].load[0].class: "species-serch" stands there
// wants: is "species-search" meant?
{ expectations: [{ name: 'x', seeds: 4, for_ms: 1000, load: [{ class: 'species-serch', every_ms: 20, shards: [0] }], claims: [{ further: { most_per_part: 0 } }] }] }
