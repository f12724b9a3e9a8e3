// wants: $.sections.north.squares[1]: "MA-01" stands there; each square once
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': { shards: [1] } }, sections: { north: { squares: ['MA-01', 'MA-01'] } } }
