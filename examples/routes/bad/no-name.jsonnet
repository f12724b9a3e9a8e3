// wants: $.routes[0].name: is missing
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { match: { class: 'species-search' } },
    { name: 'rest', default: true },
  ],
}
