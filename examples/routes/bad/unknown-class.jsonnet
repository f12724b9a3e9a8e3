// wants: class "species-serch" is not known
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-serch' } },
    { name: 'rest', default: true },
  ],
}
