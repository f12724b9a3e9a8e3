// Which shards hold the records of each survey square, and where it lies: square n is on shard n mod 24, in a grid of
// eight columns. Expectations import this too.
local shards = 24;
local number(n) = std.format('%02d', n);

{
  names:: ['MA-' + number(n) for n in std.range(1, 40)],
  squares: {
    ['MA-' + number(n)]: { shards: [n % shards], bounds: [-11 + (n % 8) * 1.2, 28 + std.floor(n / 8), -9.9 + (n % 8) * 1.2, 28.9 + std.floor(n / 8)] }
    for n in std.range(1, 40)
  },
  sections: {
    'merja-zerga': { squares: ['MA-03', 'MA-04', 'MA-05'] },
    'souss-massa': { squares: ['MA-21', 'MA-22', 'MA-34', 'MA-35'] },
    'moulouya': { squares: ['MA-11', 'MA-12'] },
  },
}
