// Where the squares lie, and what the loss of a reader or a data centre leaves. No queries are needed for these.
local atlas = import '../squares.libsonnet';

{
  expectations: [
    {
      name: 'every shard has three readers, one in each data centre',
      claims: [{ holds: { holders_least: 3, data_centres_least: 3 } }],
    },
    {
      name: 'MA-34 lies with r11, r12 and r1',
      claims: [{ holds: { square: 'MA-34', by: ['r11.example.org', 'r12.example.org', 'r1.example.org'] } }],
    },
    {
      name: 'the loss of any one reader leaves two for each shard',
      claims: [{ loss: { of: 'replica', holders_least: 2, shards_gone_most: 0 } }],
    },
    {
      name: 'the loss of any two readers leaves one for each shard',
      claims: [{ loss: { of: 'replica', count: 2, holders_least: 1 } }],
    },
    {
      name: 'the loss of a data centre leaves two readers for each shard',
      claims: [{ loss: { of: 'data_centre', holders_least: 2 } }],
    },
    {
      name: 'no class suffers from the loss of a data centre',
      claims: [
        { loss: { of: 'data_centre', class: class, parts: 6, breaks: [] } }
        for class in ['species-search', 'trend-report', 'tally-submit']
      ],
    },
    {
      name: 'with two data centres lost every query can still be whole',
      claims: [{ loss: { of: 'data_centre', count: 2, class: 'trend-report', parts: 6, whole_least: 1 } }],
    },
  ] + [
    {
      name: 'square ' + square + ' is asked of its three readers only',
      seeds: 2,
      for_ms: 300,
      load: [{ class: 'tally-submit', every_ms: 10, square: square }],
      claims: [{
        local shard = atlas.squares[square].shards[0],
        goes_to: { exactly: ['r%d.example.org' % ((shard + j) % 12 + 1) for j in [0, 1, 2]], where: { square: square } },
      }],
    }
    for square in atlas.names
  ],
}
