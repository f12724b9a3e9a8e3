// How many parts go at first, how evenly, how short answers end, and what cold readers and peers do.
local base = { seeds: 8, for_ms: 2500 };

{
  expectations: [base + e for e in [
    {
      name: 'with nothing waiting species-search asks all of its parts',
      load: [{ class: 'species-search', every_ms: 400, parts: 6 }],
      claims: [{ first_parts: { from: 6, to: 6 } }],
    },
    {
      name: 'under a backlog species-search asks fewer, never under five of six',
      load: [{ class: 'species-search', every_ms: 6, parts: 6 }],
      readers: { least_ms: 40, mean_ms: 20 },
      claims: [{ first_parts: { from: 5, to: 6 } }, { first_parts: { from: 5, to: 5, where: { from_ms: 1500 } } }],
    },
    {
      name: 'trend-report always asks every part',
      load: [{ class: 'trend-report', every_ms: 12, parts: 5 }],
      readers: { least_ms: 40, mean_ms: 20 },
      claims: [{ first_parts: { from: 5, to: 5 } }],
    },
    {
      name: 'the parts of a shard are spread evenly over its holders',
      for_ms: 6000,
      load: [{ class: 'species-search', every_ms: 10, shards: [7] }],
      readers: { least_ms: 10, mean_ms: 10 },
      claims: [{ spread: { within: 0.35 } }],
    },
    {
      name: 'a species-search with two of four shards lost is answered short',
      load: [{ class: 'species-search', every_ms: 40, shards: [0, 1, 6, 7] }],
      timeline: [{ at_ms: 700, reader: 'r%d.example.org' % n, answers: 'silent' } for n in [1, 2, 3, 4]],
      claims: [{ ends: { short_least: 0.05, by_ms: 3000 } }],
    },
    {
      name: 'a trend-report is whole or not answered',
      load: [{ class: 'trend-report', every_ms: 40, shards: [0, 1, 6, 7], timeout_ms: 1500 }],
      timeline: [{ at_ms: 700, reader: 'r%d.example.org' % n, answers: 'silent' } for n in [1, 2, 3]],
      claims: [{ ends: { whole_least: 0.2, failed_most: 0.8, by_ms: 1500 } }],
      whatever_comes: false,
    },
    {
      name: 'every query ends before its client leaves, whatever fails',
      load: [{ class: 'species-search', every_ms: 30, parts: 4, timeout_ms: 400 }, { class: 'tally-submit', every_ms: 30, parts: 1, timeout_ms: 300 }],
      timeline: [{ at_ms: 400, share: 0.4, answers: 'silent' }, { at_ms: 1200, all: true, slow: 20 }],
      claims: [{ ends: { by_ms: 400 } }, { ends: { by_ms: 300, where: { class: 'tally-submit' } } }],
      whatever_comes: true,
    },
    {
      name: 'a cold reader gets a trickle',
      for_ms: 3000,
      load: [{ class: 'species-search', every_ms: 5, shards: [0] }],
      timeline: [{ at_ms: 500, reader: 'r2.example.org', is: 'started' }],
      claims: [{ at_most: { reader: 'r2.example.org', parts: 40, within_ms: 1000, where: { from_ms: 500, to_ms: 1500 } } }],
      reader_capacity: 180,
    },
    {
      name: 'the peers of a co-ordinator that restarts take its clients and keep the rules',
      load: [{ class: 'species-search', every_ms: 15, parts: 6 }, { class: 'tally-submit', every_ms: 20, parts: 1 }],
      timeline: [{ at_ms: 800, peers: 'restart', for_ms: 700 }],
      claims: [{ ends: { answered_least: 0.98 } }],
    },
    {
      name: 'one region office that floods does not push out the others',
      load: [
        { class: 'species-search', every_ms: 40, parts: 4, tenant: 'north' },
        { class: 'species-search', every_ms: 2, parts: 4, tenant: 'south', from_ms: 800 },
      ],
      readers: { least_ms: 60, mean_ms: 40 },
      claims: [{ ends: { answered_least: 0.8, where: { tenant: 'north' } } }],
    },
    {
      name: 'a quarter of the readers slow as a whole brings no storm of copies',
      load: [{ class: 'species-search', every_ms: 20, parts: 6 }],
      timeline: [{ at_ms: 800, all: true, slow: 4 }],
      claims: [{ further: { share_most: 0.2 } }],
    },
    {
      name: 'a query with every reader gone for a while is refused, and served again after',
      for_ms: 4000,
      load: [{ class: 'species-search', every_ms: 20, parts: 4 }],
      timeline: [{ at_ms: 1000, all: true, answers: 'unreachable', for_ms: 500 }],
      claims: [{ ends: { answered_least: 0.9, where: { from_ms: 2500 } } }, { ends: { refused_least: 0.3, where: { from_ms: 1050, to_ms: 1500 } } }],
    },
  ]],
}
