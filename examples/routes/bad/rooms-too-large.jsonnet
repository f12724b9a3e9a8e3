// wants: the process holds 600 (open_cap)
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, room: { queries: 200 } },
    { name: 't', match: { class: 'trend-report' }, room: { queries: 200 } },
    { name: 'rest', default: true },
  ],
}
