// wants: broken: "tally goes again"
// wants: 0 further attempts
{ expectations: [{ name: 'tally goes again', seeds: 4, for_ms: 1000, load: [{ class: 'tally-submit', every_ms: 10, shards: [0] }], timeline: [{ at_ms: 0, reader: 'r1.example.org', answers: 'fault' }], claims: [{ further: { least: 1 } }] }] }
