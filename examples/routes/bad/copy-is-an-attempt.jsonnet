// wants: a second copy is a second attempt
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { copies: true, attempts: 1 } },
    { name: 'rest', default: true },
  ],
}
