/** Message is one line naming the field. */
export class SettingsError extends Error {}
