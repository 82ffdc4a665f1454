export default {
  // Paths on the command line replace the default ones.
  paths: process.argv.some(argument => argument.includes('.feature')) ? [] : ['features/**/*.feature'],
  import: ['dist/features/support/**/*.js', 'dist/features/steps/**/*.js'],
  format: ['./dist/features/support/plainSummary.js'],
  strict: true
}
