// wants: $.placement.data_centres_least: 3 stands there; so many data centres need as many holders
{ version: 1, config: '../../../deploy/counts.json', placement: { holders_least: 2, data_centres_least: 3 } }
