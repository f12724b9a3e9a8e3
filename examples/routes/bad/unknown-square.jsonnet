// wants: there is no square or section "MA-99"
{
  version: 1,
  config: '../../../deploy/counts.json',
  routes: [
    { name: 's', match: { square: 'MA-99' } },
    { name: 'rest', default: true },
  ],
}
