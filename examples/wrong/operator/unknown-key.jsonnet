// wants: $.proces
// wants: is "process" meant?
{ version: 1, config: '../../../deploy/counts.json', proces: {} }
