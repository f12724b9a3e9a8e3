// wants: the default matches all
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'rest', default: true, match: { class: 'species-search' } },
  ],
}
