// wants: $.fleet.revision: is missing
// wants: $.fleet.voters: is missing
// wants: $.fleet.gossip: is missing
// wants: $.fleet.keys_file: is missing
// wants: $.fleet.out_by_zone: is missing
// wants: $.fleet.parts_per_replica: is missing
// wants: $.placement.holders_least: is missing; a fleet takes no machine out without it
{ version: 1, config: '../../../deploy/fleet.json', fleet: {} }
