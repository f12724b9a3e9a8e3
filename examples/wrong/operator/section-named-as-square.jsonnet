// wants: $.sections.MA-01: a square has this name already
{ version: 1, config: '../../../deploy/counts.json', squares: { 'MA-01': { shards: [1] } }, sections: { 'MA-01': { squares: ['MA-01'] } } }
