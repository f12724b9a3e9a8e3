// How often a part goes, to whom, and how queries end when readers fail.
local r1 = 'r1.example.org', r2 = 'r2.example.org', r3 = 'r3.example.org';
local base = { seeds: 8, for_ms: 2500 };

{
  expectations: [base + e for e in [
    {
      name: 'tally-submit has a single attempt where a reader fails it',
      load: [{ class: 'tally-submit', every_ms: 10, parts: 1 }],
      timeline: [{ at_ms: 0, share: 0.25, answers: 'fault' }],
      claims: [{ further: { most_per_part: 0 } }, { ends: { failed_least: 0.005 } }],
    },
    {
      name: 'tally-submit has a single attempt where a reader is silent',
      load: [{ class: 'tally-submit', every_ms: 10, parts: 1 }],
      timeline: [{ at_ms: 500, reader: r1, answers: 'silent' }],
      claims: [{ further: { most_per_part: 0 } }],
    },
    {
      name: 'tally-submit goes again where it is proved never to have run',
      load: [{ class: 'tally-submit', every_ms: 10, shards: [0] }],
      timeline: [{ at_ms: 500, reader: r1, answers: 'unreachable' }],
      claims: [{ further: { to: [r2, r3], least: 1, most_per_part: 2 } }, { ends: { answered_least: 1 } }],
    },
    {
      name: 'tally-submit is never refused once it may have run',
      load: [{ class: 'tally-submit', every_ms: 5, shards: [0] }],
      timeline: [{ at_ms: 300, all: true, answers: 'broken' }],
      claims: [{ ends: { failed_least: 0.01 } }, { further: { most_per_part: 0 } }],
    },
    {
      name: 'a failed part of species-search goes to another holder',
      load: [{ class: 'species-search', every_ms: 20, shards: [0] }],
      timeline: [{ at_ms: 500, reader: r1, answers: 'fault' }],
      claims: [{ further: { to: [r2, r3], least: 1, where: { to_ms: 700 } } }, { ends: { whole_least: 1 } }],
    },
    {
      name: 'no part has more than three attempts whatever fails',
      load: [{ class: 'species-search', every_ms: 25, parts: 6 }, { class: 'trend-report', every_ms: 60, parts: 4 }],
      timeline: [{ at_ms: 200, share: 0.5, answers: 'fault' }, { at_ms: 900, share: 0.3, answers: 'silent', for_ms: 600 }],
      claims: [{ further: { most_per_part: 2, least: 1 } }],
      whatever_comes: true,
    },
    {
      name: 'calm days need no further attempts to speak of',
      load: [{ class: 'species-search', every_ms: 20, parts: 6 }],
      claims: [{ further: { share_most: 0.06 } }, { ends: { whole_least: 1, by_ms: 800 } }],
    },
    {
      name: 'a silent reader is left out soon',
      load: [{ class: 'species-search', every_ms: 15, shards: [0, 1, 2, 3] }],
      timeline: [{ at_ms: 500, reader: r3, answers: 'silent' }],
      claims: [
        { at_most: { reader: r3, parts: 3, within_ms: 500, where: { from_ms: 1400 } } },
        { ends: { answered_least: 1 } },
      ],
    },
    {
      name: 'a reader that fails one class is left out for that class alone',
      for_ms: 3000,
      load: [{ class: 'species-search', every_ms: 15, shards: [0] }, { class: 'trend-report', every_ms: 17, shards: [0] }],  // even gaps of one length would lock
      timeline: [{ at_ms: 500, reader: r2, answers: 'fault', class: 'species-search' }],
      claims: [
        { at_most: { reader: r2, parts: 6, within_ms: 400, where: { class: 'species-search', from_ms: 1000 } } },
        { goes_to: { exactly: [r1, r2, r3], where: { class: 'trend-report', from_ms: 1500 } } },
      ],
    },
    {
      name: 'a reader that fails trend-report is left out for it and goes on with species-search',
      for_ms: 8000,
      load: [{ class: 'species-search', every_ms: 15, shards: [0] }, { class: 'trend-report', every_ms: 17, shards: [0] }],  // even gaps of one length would lock
      timeline: [{ at_ms: 500, reader: r2, answers: 'fault', class: 'trend-report' }],
      claims: [
        { at_most: { reader: r2, parts: 6, within_ms: 400, where: { class: 'trend-report', from_ms: 1000 } } },
        { goes_to: { exactly: [r1, r2, r3], where: { class: 'species-search', from_ms: 0 } } },
      ],
    },
    {
      name: 'with one holder left of three the shard is still answered',
      load: [{ class: 'species-search', every_ms: 25, shards: [0] }],
      timeline: [{ at_ms: 0, reader: r1, is: 'gone' }, { at_ms: 0, reader: r2, is: 'gone' }],
      claims: [{ goes_to: { exactly: [r3], where: { from_ms: 20 } } }, { ends: { whole_least: 0.9, where: { from_ms: 20 } } }],
    },
    {
      name: 'with no holder left a query is refused at once with a time to come back',
      load: [{ class: 'trend-report', every_ms: 25, shards: [0, 1] }],
      timeline: [{ at_ms: 0, reader: r, is: 'gone' } for r in [r1, r2, r3]],
      claims: [{ ends: { refused_least: 1, by_ms: 5, come_back: true, where: { from_ms: 20 } } }],
    },
    {
      name: 'a retried query sends one part ahead',
      load: [{ class: 'species-search', every_ms: 30, parts: 6, retry: true }],
      claims: [{ first_parts: { from: 1, to: 1 } }],
    },
  ]],
}
