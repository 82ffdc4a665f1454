export default {
  paths: ['features/**/*.feature'],
  import: ['dist/features/support/**/*.js', 'dist/features/steps/**/*.js'],
  format: ['./dist/features/support/plainSummary.js'],
  strict: true
}
