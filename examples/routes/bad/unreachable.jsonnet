// wants: $.routes[1]: 
// wants: no query can reach it
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' } },
    { name: 'n', match: { class: 'species-search', tenant: 'north' } },
    { name: 'rest', default: true },
  ],
}
