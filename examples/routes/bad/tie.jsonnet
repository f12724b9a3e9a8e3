// wants: $.routes[1]: 
// wants: it ties with routes[0]
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'a', match: { class: 'species-search', shards: [1, 2] } },
    { name: 'b', match: { class: 'species-search', shards: [2, 1] } },
    { name: 'rest', default: true },
  ],
}
