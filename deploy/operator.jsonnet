// The operators' file of the example deployment in counts.json. `birchctl lint` checks it, `birchctl render` writes
// the JSON that `birchcart serve --operator` reads. docs/operators/expectations.md tells the keys.
local atlas = import 'squares.libsonnet';

{
  version: 1,
  config: 'counts.json',
  process: { log: { format: 'text', level: 'info', queue: 1024 } },
  placement: { holders_least: 3, data_centres_least: 3 },
  squares: atlas.squares,
  sections: atlas.sections,
}
