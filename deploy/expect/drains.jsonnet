// What a reader gets that drains, ends, or comes back. News is as it reaches the co-ordinator: late, twice, out of order.
local mix = [
  { class: 'species-search', every_ms: 15, parts: 6 },
  { class: 'tally-submit', every_ms: 25, parts: 1 },
];
local r3 = 'r3.example.org';
local base = { seeds: 8, for_ms: 3000, load: mix };

{
  expectations: [base + e for e in [
    {
      name: 'a draining reader gets nothing new, and only then',
      timeline: [{ at_ms: 1000, reader: r3, is: 'draining' }, { at_ms: 2000, reader: r3, is: 'ready' }],
      claims: [{ nothing_new: { reader: r3, after_ms: 0, only_then: true } }],
    },
    {
      name: 'a reader that is gone gets nothing new',
      timeline: [{ at_ms: 1000, reader: r3, is: 'gone' }],
      claims: [{ nothing_new: { reader: r3, after_ms: 0 } }, { ends: { answered_least: 0.99 } }],
      whatever_comes: false,
    },
    {
      name: 'late news of a drain counts from when it is told',
      timeline: [{ at_ms: 700, reader: r3, is: 'draining', late_ms: 600 }, { at_ms: 2200, reader: r3, is: 'ready', late_ms: 300 }],
      claims: [{ nothing_new: { reader: r3, after_ms: 0, only_then: true } }],
    },
    {
      name: 'a drain told twice is one drain',
      timeline: [{ at_ms: 800, reader: r3, is: 'draining', again_ms: [300] }, { at_ms: 2000, reader: r3, is: 'ready' }],
      claims: [{ nothing_new: { reader: r3, after_ms: 0, only_then: true } }],
    },
    {
      name: 'old news of a drain that comes after the return counts as told',
      timeline: [{ at_ms: 600, reader: r3, is: 'draining', again_ms: [900] }, { at_ms: 1200, reader: r3, is: 'ready', again_ms: [900] }],
      claims: [{ nothing_new: { reader: r3, after_ms: 0, only_then: true } }],
    },
    {
      name: 'a reader that ends and returns under its name within the grace',
      for_ms: 4000,
      timeline: [
        { at_ms: 1000, reader: r3, is: 'draining' },
        { at_ms: 1100, reader: r3, is: 'gone' },
        { at_ms: 1200, reader: r3, is: 'started' },
      ],
      claims: [
        { nothing_new: { reader: r3, after_ms: 0, only_then: true } },
        { at_most: { reader: r3, parts: 4, within_ms: 200, where: { from_ms: 1200 } } },
      ],
    },
    {
      name: 'a whole data centre drains and the others answer',
      timeline: [{ at_ms: 1000, data_centre: 'agadir', is: 'draining' }],
      claims: [
        { goes_to: { never_data_centre: 'agadir', where: { from_ms: 1010 } } },
        { ends: { answered_least: 1, whole_least: 1, where: { from_ms: 1010 } } },
      ],
    },
    {
      name: 'tally-submit at a draining reader is not sent again',
      load: [{ class: 'tally-submit', every_ms: 8, shards: [0, 1, 2] }],
      timeline: [{ at_ms: 1000, reader: r3, is: 'draining' }],
      claims: [{ further: { most_per_part: 0 } }, { nothing_new: { reader: r3, after_ms: 0 } }],
    },
  ]],
}
