// wants: the default stands last
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 'rest', default: true },
    { name: 's', match: { class: 'species-search' } },
  ],
}
