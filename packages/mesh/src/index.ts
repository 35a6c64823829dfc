/** The mesh that connects entries: WebSocket links that carry MessagePack messages. */
export * from './frame.js';
export * from './mesh.js';
