{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'search', match: { class: 'species-search' }, limits: { floor: 0.75 } },
    { name: 'rest', default: true },
  ],
}
