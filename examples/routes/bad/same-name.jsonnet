// wants: is the name of routes[0] already
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' } },
    { name: 's', match: { class: 'trend-report' } },
    { name: 'rest', default: true },
  ],
}
