// wants: the settings allow 3
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { attempts: 4 } },
    { name: 'rest', default: true },
  ],
}
