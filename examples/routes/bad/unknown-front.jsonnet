// wants: $.routes[0].match.front
// wants: "door" stands there
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { front: 'door' } },
    { name: 'rest', default: true },
  ],
}
