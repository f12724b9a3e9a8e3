// wants: there is no rate_per_s
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, room: { burst: 5 } },
    { name: 'rest', default: true },
  ],
}
