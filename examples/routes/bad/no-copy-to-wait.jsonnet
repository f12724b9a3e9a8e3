// wants: copies: false leaves none
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { copies: false, copy_after_ms: 100 } },
    { name: 'rest', default: true },
  ],
}
