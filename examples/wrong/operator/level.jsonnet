// wants: $.process.log.level: "inform" stands there
// wants: is "info" meant?
{ version: 1, config: '../../../deploy/counts.json', process: { log: { level: 'inform' } } }
