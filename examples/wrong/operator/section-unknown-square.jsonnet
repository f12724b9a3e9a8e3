// wants: $.sections.north.squares[0]: "MA-1" stands there
// wants: is "MA-01" meant?
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': { shards: [1] } }, sections: { north: { squares: ['MA-1'] } } }
