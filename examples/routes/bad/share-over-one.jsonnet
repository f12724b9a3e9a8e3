// wants: $.routes[0].limits.budget_share: 1.5 stands there
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { budget_share: 1.5 } },
    { name: 'rest', default: true },
  ],
}
