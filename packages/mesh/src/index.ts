/** The mesh between entries, over WebSocket with MessagePack. */
export * from './frame.js';
export * from './mesh.js';
