// wants: headers are seen of feature queries only
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search', headers: { 'X-Plan': 'gold' } } },
    { name: 'rest', default: true },
  ],
}
