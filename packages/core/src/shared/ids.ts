/**
 * Branded identifiers, so that one kind of identifier cannot be passed where another is expected.
 */

/** A string whose kind exists only in its type, not at run time. */
export type Branded<Kind extends string> = string & { readonly brand: Kind };

export type HostId = Branded<'HostId'>;
export type RackId = Branded<'RackId'>;
export type DataCentreId = Branded<'DataCentreId'>;
/** A failure domain: a rack or a data centre, whose endpoints can fail together. */
export type DomainId = Branded<'DomainId'>;
export type PoolName = Branded<'PoolName'>;
export type TeamName = Branded<'TeamName'>;
export type ServiceName = Branded<'ServiceName'>;
export type JobId = Branded<'JobId'>;
export type WaveId = Branded<'WaveId'>;
export type EntryId = Branded<'EntryId'>;
/** One incarnation of an endpoint: each restart in the same place gets a new id. */
export type EndpointId = Branded<'EndpointId'>;
/** The platform's id of an endpoint, which successive incarnations may share. */
export type InstanceId = Branded<'InstanceId'>;
/** A client account: any holder of one of its API keys acts on its behalf. */
export type AccountName = Branded<'AccountName'>;
export type CallerId = Branded<'CallerId'>;
export type RequestId = Branded<'RequestId'>;
export type ChangeId = Branded<'ChangeId'>;

/**
 * Casts a plain string to an identifier of the given kind, without validation.
 *
 * @param value - The text read from a setting, a row or a message.
 * @returns The same text, with the identifier type.
 */
export const brand = <Id extends Branded<string>>(value: string): Id => value as Id;
