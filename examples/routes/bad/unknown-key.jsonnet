// wants: $.routes[0].limits.attemps
// wants: is "attempts" meant?
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, limits: { attemps: 2 } },
    { name: 'rest', default: true },
  ],
}
