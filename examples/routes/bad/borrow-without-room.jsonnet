// wants: no need to borrow
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { class: 'species-search' }, room: { borrow: true } },
    { name: 'rest', default: true },
  ],
}
