// The operators' file with a front for feature queries beside it: counts by square, for mapping tools.
(import 'operator.jsonnet') + {
  fronts: {
    ogc: {
      listen: '127.0.0.1:9081',
      title: 'Bird counts',
      tenant: 'coast',
      key_header: 'X-Api-Key',
      keys: { 'example-key-north': 'north', 'example-key-south': 'south' },
      collections: {
        counts: {
          title: 'Counts by survey square',
          class: 'species-search',
          time: 'observed',
          properties: { species: 'text', count: 'number', observed: 'time', verified: 'boolean' },
        },
      },
    },
  },
}
