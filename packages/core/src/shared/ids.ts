/** Branded identifiers, so that one kind of name cannot be passed where another is meant. */

/** A string that carries the name of its kind in the type only. */
export type Branded<Kind extends string> = string & { readonly brand: Kind };

export type HostId = Branded<'HostId'>;
export type RackId = Branded<'RackId'>;
export type DataCentreId = Branded<'DataCentreId'>;
/** A rack or a data centre, as a set of endpoints that fail together. */
export type DomainId = Branded<'DomainId'>;
export type PoolName = Branded<'PoolName'>;
export type TeamName = Branded<'TeamName'>;
export type ServiceName = Branded<'ServiceName'>;
export type JobId = Branded<'JobId'>;
export type WaveId = Branded<'WaveId'>;
export type EntryId = Branded<'EntryId'>;
/** One life of an endpoint: the next one that starts in its place has another. */
export type EndpointId = Branded<'EndpointId'>;
/** What a platform calls an endpoint; lives that follow each other may share it. */
export type InstanceId = Branded<'InstanceId'>;
/** A client account: whoever holds one of its keys acts for it. */
export type AccountName = Branded<'AccountName'>;
export type CallerId = Branded<'CallerId'>;
export type RequestId = Branded<'RequestId'>;
export type ChangeId = Branded<'ChangeId'>;

/**
 * Marks a plain string as an identifier of the wanted kind.
 *
 * @param value - The text that was read from a setting, a row or a message.
 * @returns The same text, typed.
 */
export const brand = <Id extends Branded<string>>(value: string): Id => value as Id;
