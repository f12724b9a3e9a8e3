{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'north-search', match: { class: 'species-search', tenant: 'north' }, limits: { time_ms: 2500 } },
    { name: 'north', match: { tenant: 'north' }, limits: { attempts: 2 } },
    { name: 'rest', default: true },
  ],
}
